// The whole path over three regions: look-up, key, limit, placement, answer.
organisation("andes", 200, 100);
organisation("brisa", 200, 100);
start(["lima", "arequipa", "iquitos"], 3, 4, 9);

load("andes", "GET", 80.0, 4.0);
load("brisa", "POST", 40.0, 4.0);
wait(1.5);
drain("zone", "arequipa-a");
wait(1.5);
undrain("zone", "arequipa-a");

let result = finish();
expect(result.andes_get.answered == result.andes_get.sent, "all of andes answered");
expect(result.brisa_post.answered == result.brisa_post.sent, "all of brisa answered");

let targets = seen();
expect(targets.doubled == 0, "no request run twice");
expect(targets.lost == 0, "no answered request without a run");
expect(!targets.saw_key, "no target to see a key");
expect(targets.most_at_once <= 9, "no target above its slots");

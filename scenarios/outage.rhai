// The store fails for a while, a host is killed and another replaced, under load.
organisation("andes", 200, 100);
organisation("brisa", 100, 50);
start(["lima", "arequipa"], 3, 4, 9);

load("andes", "GET", 80.0, 14.0);
load("brisa", "GET", 40.0, 14.0);
wait(1.0);
store("down");
wait(4.0);
store("up");
wait(1.0);
replace("lima-1");
store("lossy");
wait(1.0);
store("up");

let result = finish();
expect(result.andes_get.answered == result.andes_get.sent, "all of andes answered");
expect(result.brisa_get.answered == result.brisa_get.sent, "all of brisa answered");
expect(result.andes_get.broken == 0, "no exchange of andes cut");

let targets = seen();
expect(targets.doubled == 0, "no request run twice");
expect(targets.untrue == 0, "every \"not run\" to be true");

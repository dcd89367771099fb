// A key is withdrawn and a rate lowered while requests run.
organisation("andes", 200, 100);
organisation("brisa", 200, 100);
start(["lima", "arequipa"], 3, 4, 9);

load("andes", "GET", 50.0, 6.0);
load("brisa", "GET", 50.0, 6.0);
wait(2.0);
withdraw("andes");
set_rate("brisa", 100);

let result = finish();
// Two seconds before the withdrawal and at most two after it.
expect(result.andes_get.answered <= 50 * 4, "andes to stop within two seconds");
expect(result.andes_get.answered >= 50, "andes to be served before");
expect(result.brisa_get.answered == result.brisa_get.sent, "brisa to be served within its new rate");
expect(seen().untrue == 0, "every \"not run\" to be true");

//! Queries of look-ups in the gateway's own dialect.

use fighall_gateway::native;

#[test]
fn a_lookup_is_the_same_with_and_without_encoding() {
    let read = native::dialect().read_lookup;
    let plain = read("service=quotes&region=lima&zone=lima-a");
    let encoded = read("service=%71uotes&region=lim%61&%7aone=lima%2Da");
    assert_eq!(encoded.name, plain.name);
    assert_eq!(encoded.region, plain.region);
    assert_eq!(encoded.zone, plain.zone);
    assert_eq!(read("zone=a+b").zone, "a b");
    assert_eq!(read("zone=a%2Bb").zone, "a+b");
}

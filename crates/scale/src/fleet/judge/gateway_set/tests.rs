use super::*;

#[test]
fn a_gateway_is_in_the_set_from_its_insertion_to_its_removal() {
    let mut set = GatewaySet::new(130);
    for gateway in [0, 63, 64, 129] {
        assert!(!set.contains(gateway));
        set.insert(gateway);
        assert!(set.contains(gateway));
    }
    set.remove(64);
    let inside: Vec<usize> = (0..130).filter(|gateway| set.contains(*gateway)).collect();
    assert_eq!(inside, [0, 63, 129]);
}

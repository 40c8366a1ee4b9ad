use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

fn network() -> impl Strategy<Value = IpNet> {
    // Only a few bits vary, so that the generated networks overlap, nest and are adjacent to one another.
    let v4 = (0u8..4, 0u8..=255, 0u8..=32).prop_map(|(a, b, len)| {
        IpNet::new(IpAddr::from([10, a, 0, b]), len)
            .expect("the prefix length is valid")
            .trunc()
    });
    let v6 = (0u16..4, 0u16..4, 0u8..=128).prop_map(|(a, b, len)| {
        IpNet::new(IpAddr::from([0x2001, 0xdb8, a, 0, 0, 0, 0, b]), len)
            .expect("the prefix length is valid")
            .trunc()
    });
    let ends = prop_oneof![
        Just("0.0.0.0/0"),
        Just("::/0"),
        Just("255.255.255.255/32"),
        Just("::ffff:0:0/96")
    ];
    prop_oneof![4 => v4, 4 => v6, 1 => ends.prop_map(|n| n.parse().expect("the network is valid"))]
}

fn address() -> impl Strategy<Value = IpAddr> {
    prop_oneof![
        (0u8..4, 0u8..=255).prop_map(|(a, b)| IpAddr::from([10, a, 0, b])),
        (0u16..4, 0u16..4).prop_map(|(a, b)| IpAddr::from([0x2001, 0xdb8, a, 0, 0, 0, 0, b])),
        any::<u32>().prop_map(|a| IpAddr::from(a.to_be_bytes())),
        any::<u128>().prop_map(|a| IpAddr::from(a.to_be_bytes())),
    ]
}

fn contains(networks: &[IpNet], address: IpAddr) -> bool {
    networks
        .iter()
        .map(AddressRange::of)
        .any(|range| (range.first..=range.last).contains(&to_integer(address)))
}

proptest! {
    #[test]
    fn address_classes_agree_with_lists_of_networks(
        sets in vec((vec(network(), 0..6), vec(network(), 0..4)), 0..6),
        addresses in vec(address(), 30),
    ) {
        let union_of = |networks: &[IpNet]| union(networks.iter().map(AddressRange::of).collect());
        let ranges: Vec<AddressRanges> = sets.iter().map(|(included, excluded)| difference(&union_of(included), &union_of(excluded))).collect();
        let classes = AddressClasses::new(&ranges);
        for address in addresses {
            let members = classes.members(classes.class(address));
            for (index, (included, excluded)) in sets.iter().enumerate() {
                prop_assert_eq!(members.contains(index), contains(included, address) && !contains(excluded, address));
            }
        }
    }
}

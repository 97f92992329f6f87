use super::*;

#[test]
fn each_direction_has_its_own_faults() {
    let run = async {
        let net = DatagramNetwork::new(1);
        let (a, b) = (UdpSocket::bind("127.0.0.1:0").await?, UdpSocket::bind("127.0.0.1:0").await?);
        let (to_a, to_b) = (net.relay(a.local_addr()?).await?, net.relay(b.local_addr()?).await?);
        net.set_path(0, 1, DatagramFaults { blocked: true, ..DatagramFaults::NONE });
        net.set_path(1, 0, DatagramFaults { duplicated: 1.0, ..DatagramFaults::NONE });
        let mut bytes = [0; 9];
        a.send_to(b"lost", to_b).await?;
        b.send_to(b"twice", to_a).await?;
        for _ in 0..2 {
            assert_eq!(a.recv(&mut bytes).await?, 5);
        }
        net.heal();
        a.send_to(b"passes", to_b).await?;
        assert_eq!(b.recv(&mut bytes).await?, 6, "only the datagram sent after the heal arrives");
        net.set_all(DatagramFaults { loss: 1.0, ..DatagramFaults::NONE });
        a.send_to(b"lost", to_b).await?;
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!((net.counts().passed, net.counts().dropped), (3, 2));
        Ok(())
    };
    crate::runtime::on_one_thread(Duration::from_secs(9), run).unwrap();
}

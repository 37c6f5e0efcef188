//! Tells the other daemons what is sent where, and hears it from them.
//!
//! Each daemon writes its address to the key-value service under a lease.
//! jsonrpsee, which the daemons use elsewhere, needs a connection to each
//! other daemon; news that is worth nothing after a second goes by datagram.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use async_std::{net::UdpSocket, task};
use gooseberry_platform::store::{StoreClient, StoreFault, StorePut};
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::{
    gateway::Gateway,
    news::{NewsDatagram, SendNews},
};

/// Prefix of the keys under which daemons write their addresses.
pub const KEY_PREFIX: &str = "daemons/";

/// Time in which news is collected for one datagram.
const COLLECT_SPAN: Duration = Duration::from_millis(3);
/// Time between summaries.
const SUMMARY_SPAN: Duration = Duration::from_millis(500);
/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 16 * 1024;
/// News in one datagram; more go into the next one.
const NEWS_LIMIT: usize = 24;
/// Time for which an address stays in the key-value service without renewal.
const LEASE_SPAN: Duration = Duration::from_secs(20);
/// Time between renewals.
const RENEW_SPAN: Duration = Duration::from_secs(7);
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Holds the addresses of the other daemons.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    addresses: Mutex<HashMap<SmolStr, SocketAddr>>,
}

impl PeerDirectory {
    /// Notes an address; returns whether it is news.
    pub fn put(&self, name: &str, address: SocketAddr) -> bool {
        self.addresses.lock().insert(name.into(), address) != Some(address)
    }

    /// Forgets a daemon.
    pub fn remove(&self, name: &str) {
        self.addresses.lock().remove(name);
    }

    fn all(&self) -> Vec<SocketAddr> {
        self.addresses.lock().values().copied().collect()
    }
}

/// Writes this daemon's address and keeps it there.
pub async fn register(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(gateway.options.store);
    loop {
        let fault = match keep_registered(&gateway, &mut client).await {
            Ok(never) => match never {},
            Err(fault) => fault,
        };
        gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
        tracing::info!(%fault, "address isn't registered");
        gateway.clock.sleep(RETRY_PAUSE).await;
    }
}

async fn keep_registered(
    gateway: &Gateway,
    client: &mut StoreClient,
) -> Result<std::convert::Infallible, StoreFault> {
    let options = &gateway.options;
    let lease = client.lease(LEASE_SPAN, CALL_LIMIT).await?;
    let key = format!("{KEY_PREFIX}{}", options.name);
    let address = options.peer_listen.to_string();
    let put = StorePut { key: &key, value: address.as_bytes(), lease: lease.id, expected: None };
    client.put(&put, CALL_LIMIT).await?;
    loop {
        gateway.clock.sleep(RENEW_SPAN).await;
        client.renew(lease.id, CALL_LIMIT).await?;
    }
}

/// Exchanges news for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(gateway: &Arc<Gateway>, peers: &Arc<PeerDirectory>) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(gateway.options.peer_listen).await?);
    task::spawn(hear(Arc::clone(gateway), Arc::clone(&socket)));
    task::spawn(tell(Arc::clone(gateway), Arc::clone(peers), Arc::clone(&socket)));
    task::spawn(summarize(Arc::clone(gateway), Arc::clone(peers), socket));
    Ok(())
}

async fn tell(gateway: Arc<Gateway>, peers: Arc<PeerDirectory>, socket: Arc<UdpSocket>) {
    loop {
        gateway.peers_woken().await;
        gateway.clock.sleep(COLLECT_SPAN).await;
        let news = gateway.state.lock().take_outgoing();
        for news in news.chunks(NEWS_LIMIT) {
            send(&gateway, &peers, &socket, news.to_vec()).await;
        }
    }
}

async fn summarize(gateway: Arc<Gateway>, peers: Arc<PeerDirectory>, socket: Arc<UdpSocket>) {
    loop {
        gateway.clock.sleep(SUMMARY_SPAN).await;
        let now = gateway.now();
        let (pending, running) = {
            let mut state = gateway.state.lock();
            state.forget_silent(now);
            state.own_summary()
        };
        gateway.connections.prune(gateway.instant());
        send(&gateway, &peers, &socket, vec![SendNews::Summary { pending, running }]).await;
    }
}

async fn send(gateway: &Gateway, peers: &PeerDirectory, socket: &UdpSocket, news: Vec<SendNews>) {
    let datagram = NewsDatagram { daemon: gateway.daemon, news };
    let bytes = match postcard::to_stdvec(&datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(%error, "news can't be written");
            return;
        }
    };
    for address in peers.all() {
        // A datagram that is lost is repaired by the next summary.
        if let Err(error) = socket.send_to(&bytes, address).await {
            tracing::debug!(%error, %address, "datagram not sent");
        }
        gateway.metrics.datagrams.with_label_values(&["sent"]).inc();
    }
}

async fn hear(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                tracing::warn!(%error, "no datagrams can be read");
                gateway.clock.sleep(COLLECT_SPAN).await;
                continue;
            }
        };
        match postcard::from_bytes::<NewsDatagram>(&buffer[..length]) {
            Ok(datagram) => {
                gateway.metrics.datagrams.with_label_values(&["heard"]).inc();
                let now = gateway.now();
                let mut state = gateway.state.lock();
                state.hear(datagram.daemon, &datagram.news, now);
            }
            Err(error) => {
                gateway.metrics.datagrams.with_label_values(&["unreadable"]).inc();
                tracing::debug!(%error, "datagram can't be read");
            }
        }
    }
}

//! The links of the daemons to one server.

use std::collections::HashMap;

use gooseberry_harness::proxy::{ProxyState, TestProxy};
use parking_lot::Mutex;

/// A proxy for each daemon before one server. A fault of the server affects all of them.
#[derive(Debug)]
pub struct ServerLinks {
    /// Address of the server itself.
    pub address: String,
    state: Mutex<LinkState>,
}

#[derive(Debug)]
struct LinkState {
    server: ProxyState,
    links: HashMap<usize, TestProxy>,
    /// States of the links that are cut.
    cuts: HashMap<usize, ProxyState>,
}

impl ServerLinks {
    /// Creates the links to a server, none so far.
    pub fn new(address: String) -> Self {
        let state = LinkState {
            server: ProxyState::Forwarding,
            links: HashMap::new(),
            cuts: HashMap::new(),
        };
        Self { address, state: Mutex::new(state) }
    }

    /// Adds the link of a daemon and returns its address.
    pub fn add(&self, daemon: usize) -> String {
        let proxy = TestProxy::start(&self.address);
        let address = proxy.address.clone();
        self.state.lock().links.insert(daemon, proxy);
        address
    }

    /// Sets the state of all links that aren't cut.
    pub fn set_server(&self, server: ProxyState) {
        let mut state = self.state.lock();
        state.server = server;
        for (daemon, link) in &state.links {
            // A server that is down refuses the connections of links that only hang, too.
            if server == ProxyState::Closed || !state.cuts.contains_key(daemon) {
                link.set_state(server);
            } else if let Some(cut) = state.cuts.get(daemon) {
                link.set_state(*cut);
            }
        }
    }

    /// Cuts the link of a daemon, or restores it.
    pub fn set_cut(&self, daemon: usize, cut: Option<ProxyState>) {
        let mut state = self.state.lock();
        match cut {
            Some(cut) => state.cuts.insert(daemon, cut),
            None => state.cuts.remove(&daemon),
        };
        if let Some(link) = state.links.get(&daemon) {
            link.set_state(cut.unwrap_or(state.server));
        }
    }
}

//! Following discovery: a watch that is opened again whenever it ends, and a check of the full list beside it.

use super::backoff::Backoff;
use super::client::DiscoveryClient;
use super::connection::{DiscoveryConnection, DiscoveryError, ListRequest};
use super::endpoint_list::ListVerdict;
use super::received_list::ReceivedList;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{sleep, timeout, Instant};

/// Follows discovery for good. Each request is sent as soon as the response before it has arrived; after a failure, and
/// at a new address, the watch is opened again.
pub async fn follow(client: Rc<DiscoveryClient>, mut backoff: Backoff) {
    let mut addresses = client.addresses();
    if client.limits().discovery.is_polled {
        sleep(backoff.first()).await;
    }
    loop {
        let address = addresses.borrow_and_update().discovery;
        // A watch must not go on at an address that discovery has left, nor stay silent while there are changes.
        tokio::select! {
            () = watch_once(&client, address, &mut backoff) => {}
            _ = addresses.changed() => {}
            () = client.watch_reopening() => {}
        }
    }
}

/// Opens a watch, follows it to its end, and pauses where the next one must not be opened at once.
async fn watch_once(client: &DiscoveryClient, address: SocketAddr, backoff: &mut Backoff) {
    if let Err(failure) = watch(client, address, backoff).await {
        tracing::warn!(error = %failure.error, "discovery watch failed");
        client.record_failure();
        if failure.reopen_at_once {
            return;
        }
    }
    sleep(backoff.after_failure()).await;
}

/// Why a watch ended.
struct WatchFailure {
    error: DiscoveryError,
    /// The watch had been answered for a while: only its connection is known to be at fault.
    reopen_at_once: bool,
}

impl<E: Into<DiscoveryError>> From<E> for WatchFailure {
    fn from(error: E) -> Self {
        WatchFailure {
            error: error.into(),
            reopen_at_once: false,
        }
    }
}

async fn watch(
    client: &DiscoveryClient,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<(), WatchFailure> {
    let limits = client.limits();
    let mut connection = timeout(
        limits.connect_timeout.get(),
        DiscoveryConnection::open(address),
    )
    .await
    .map_err(|_| DiscoveryError::ConnectTimeout)??;
    let mut request = first_request(client);
    let opened_at = Instant::now();
    let mut has_answered = false;
    loop {
        let lists_received = client.lists_received();
        let response = connection.get(&request, limits).await.map_err(|error| {
            // A connection that is lost right after its first answer is not opened again without a pause.
            let reopen_at_once = has_answered
                && opened_at.elapsed() >= limits.discovery.full_list_interval
                && error.is_of_connection();
            WatchFailure {
                error,
                reopen_at_once,
            }
        })?;
        let list = client.parse(&response.list)?;
        request = process(client, &list, lists_received, &request)?;
        backoff.answered();
        has_answered = true;
        if !response.keep_alive {
            return Ok(());
        }
    }
}

impl DiscoveryError {
    /// Whether the connection or its response is at fault, and not the list in a sound response.
    fn is_of_connection(&self) -> bool {
        !matches!(
            self,
            DiscoveryError::Json(_) | DiscoveryError::List(_) | DiscoveryError::NoFullList
        )
    }
}

/// Where discovery is polled, the full list is expensive, and refused to everybody while many ask: the watch begins
/// with the changes since the list in force.
fn first_request(client: &DiscoveryClient) -> ListRequest {
    let limits = client.limits();
    if limits.discovery.is_polled {
        ListRequest::changes_since(client.version(), limits)
    } else {
        ListRequest::full(limits.discovery.watch_grace)
    }
}

/// Handles a list that answers `request`; the request that follows it.
fn process(
    client: &DiscoveryClient,
    list: &ReceivedList,
    lists_received: u64,
    request: &ListRequest,
) -> Result<ListRequest, DiscoveryError> {
    let limits = client.limits();
    let verdict = client.compare(list, lists_received);
    match verdict {
        ListVerdict::Supersedes => client.apply(list),
        ListVerdict::SameVersion => {}
        ListVerdict::Older => {
            tracing::info!(version = list.version, "older endpoint list ignored");
            let full = ListRequest::full(limits.discovery.watch_grace);
            // A discovery that answers the call for the full list with old changes must not be asked in a busy loop.
            if *request == full && !list.is_full {
                return Err(DiscoveryError::NoFullList);
            }
            return Ok(full);
        }
    }
    Ok(ListRequest::changes_since(list.version, limits))
}

/// Asks for the full list at intervals, beside the watch.
///
/// A watch whose answer is lost looks like one without changes until its wait is over, while hosts are added and
/// removed unseen. A watch that is found to be behind is opened again.
pub async fn check(client: Rc<DiscoveryClient>) {
    loop {
        sleep(client.limits().discovery.full_list_interval).await;
        check_once(&client).await;
    }
}

async fn check_once(client: &DiscoveryClient) {
    let address = client.address();
    let lists_received = client.lists_received();
    // A call that fails here fails at the watch too, which reports it.
    let Ok(Ok(list)) = timeout(
        client.limits().discovery.full_list_timeout,
        full_list(client, address),
    )
    .await
    else {
        return;
    };
    if client.address() != address || !list.is_full {
        return;
    }
    let held = client.version();
    let verdict = client.compare(&list, lists_received);
    if verdict == ListVerdict::Supersedes && list.version != held {
        tracing::info!(held, version = list.version, "discovery watch is behind");
        client.apply(&list);
        client.reopen_watch();
    }
}

async fn full_list(
    client: &DiscoveryClient,
    address: SocketAddr,
) -> Result<ReceivedList, DiscoveryError> {
    let limits = client.limits();
    let connection = DiscoveryConnection::open(address).await?;
    let request = ListRequest::full(limits.discovery.full_list_timeout);
    let response = connection.get_and_close(&request, limits).await?;
    Ok(client.parse(&response.list)?)
}

//! Tasks that follow discovery: a watch that is reopened whenever it ends, and a periodic check of the full list.

use super::backoff::Backoff;
use super::client::DiscoveryClient;
use super::connection::{DiscoveryConnection, DiscoveryError, ListRequest};
use super::endpoint_list::ListComparison;
use super::received_list::ReceivedList;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Follows discovery and never returns. Each request is sent as soon as the previous response has arrived; the watch is
/// reopened after a failure and when the address of discovery changes.
pub async fn follow(client: Rc<DiscoveryClient>, mut backoff: Backoff) {
    let mut addresses = client.addresses();
    if client.limits().discovery.is_polled {
        sleep(backoff.initial_delay()).await;
    }
    loop {
        let address = addresses.borrow_and_update().discovery;
        // Abandons a watch at an old address of discovery, and a silent watch that the check found to be behind.
        tokio::select! {
            () = watch_once(&client, address, &mut backoff) => {}
            _ = addresses.changed() => {}
            () = client.reopen_requested() => {}
        }
    }
}

/// Opens a watch, follows it until it ends, and waits unless the next one may be opened immediately.
async fn watch_once(client: &DiscoveryClient, address: SocketAddr, backoff: &mut Backoff) {
    if let Err(failure) = watch(client, address, backoff).await {
        tracing::warn!(error = %failure.error, "discovery watch failed");
        client.record_failure();
        if failure.reopen_immediately {
            return;
        }
    }
    sleep(backoff.next_delay()).await;
}

/// The reason why a watch ended.
struct WatchFailure {
    error: DiscoveryError,
    /// Whether the watch may be reopened without a delay: the timeout of its request was a delay already, or discovery had
    /// been answering for a while, so that only the connection is known to have failed.
    reopen_immediately: bool,
}

impl<E: Into<DiscoveryError>> From<E> for WatchFailure {
    fn from(error: E) -> Self {
        WatchFailure {
            error: error.into(),
            reopen_immediately: false,
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
        DiscoveryConnection::open(address, client.memory()),
    )
    .await
    .map_err(|_| DiscoveryError::ConnectTimeout)??;
    let mut request = first_request(client);
    let opened_at = Instant::now();
    let mut has_answered = false;
    loop {
        let lists_received = client.lists_received();
        let response = connection.get(&request, limits).await.map_err(|error| {
            // A connection lost soon after it was opened is reopened after a delay, even if it was answered.
            let has_answered_for_a_while =
                has_answered && opened_at.elapsed() >= limits.discovery.full_list_interval;
            let reopen_immediately = match error {
                DiscoveryError::ResponseTimeout => true,
                _ => has_answered_for_a_while && error.is_connection_error(),
            };
            WatchFailure {
                error,
                reopen_immediately,
            }
        })?;
        let list = client.parse(&response.list)?;
        request = process_list(client, &list, lists_received, &request)?;
        backoff.reset();
        has_answered = true;
        if !response.keep_alive {
            return Ok(());
        }
    }
}

impl DiscoveryError {
    /// Returns whether the connection or the HTTP response caused the error, and not the list in a valid response.
    fn is_connection_error(&self) -> bool {
        !matches!(
            self,
            DiscoveryError::Json(_) | DiscoveryError::List(_) | DiscoveryError::OutdatedChanges
        )
    }
}

/// Returns the first request of a watch: the full list, or the changes since the current list where discovery is
/// polled. There the full list is expensive, and discovery refuses it to all limiters while many request it.
fn first_request(client: &DiscoveryClient) -> ListRequest {
    let limits = client.limits();
    if limits.discovery.is_polled {
        ListRequest::changes_since(client.version(), limits)
    } else {
        ListRequest::full(limits.discovery.watch_grace)
    }
}

/// Handles a list received in response to `request`, and returns the next request.
fn process_list(
    client: &DiscoveryClient,
    list: &ReceivedList,
    lists_received: u64,
    request: &ListRequest,
) -> Result<ListRequest, DiscoveryError> {
    let limits = client.limits();
    let comparison = client.compare(list, lists_received);
    match comparison {
        ListComparison::Supersedes => client.apply(list),
        ListComparison::SameVersion => {}
        ListComparison::Older => {
            tracing::info!(version = list.version, "older endpoint list ignored");
            let full = ListRequest::full(limits.discovery.watch_grace);
            // Prevents a busy loop when discovery answers a request for the full list with outdated changes.
            if *request == full && !list.is_full {
                return Err(DiscoveryError::OutdatedChanges);
            }
            return Ok(full);
        }
    }
    Ok(ListRequest::changes_since(list.version, limits))
}

/// Requests the full list at intervals, independently of the watch, and never returns.
///
/// A watch whose response is lost cannot be told from one without changes until its wait is over, and changes of hosts
/// are missed meanwhile. A watch that is found to be behind is reopened. The time to the next request counts from the start
/// of a request: discovery may have returned right after a request that it leaves unanswered.
pub async fn check(client: Rc<DiscoveryClient>) {
    let limits = &client.limits().discovery;
    let mut next_at = Instant::now() + limits.full_list_interval;
    loop {
        sleep_until(next_at).await;
        let started_at = Instant::now();
        next_at = started_at
            + match check_once(&client).await {
                CheckOutcome::Answered => limits.full_list_interval,
                CheckOutcome::Failed => limits.full_list_timeout,
            };
    }
}

/// The outcome of a request for the full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckOutcome {
    /// Discovery has sent a list.
    Answered,
    /// Discovery has sent no list in time.
    Failed,
}

async fn check_once(client: &DiscoveryClient) -> CheckOutcome {
    let address = client.address();
    let lists_received = client.lists_received();
    let answer = timeout(
        client.limits().discovery.full_list_timeout,
        full_list(client, address),
    );
    // A failure is not logged here: the watch fails for the same reason, and reports it.
    let Ok(Ok(list)) = answer.await else {
        return CheckOutcome::Failed;
    };
    if client.address() == address && list.is_full {
        apply_if_newer(client, &list, lists_received);
    }
    CheckOutcome::Answered
}

/// Applies a full list that the watch has missed.
fn apply_if_newer(client: &DiscoveryClient, list: &ReceivedList, lists_received: u64) {
    let held = client.version();
    let comparison = client.compare(list, lists_received);
    if comparison == ListComparison::Supersedes && list.version != held {
        tracing::info!(held, version = list.version, "discovery watch is behind");
        client.apply(list);
        client.reopen_watch();
    }
}

async fn full_list(
    client: &DiscoveryClient,
    address: SocketAddr,
) -> Result<ReceivedList, DiscoveryError> {
    let limits = client.limits();
    let connection = DiscoveryConnection::open(address, client.memory()).await?;
    let request = ListRequest::full(limits.discovery.full_list_timeout);
    let response = connection.get_and_close(&request, limits).await?;
    Ok(client.parse(&response.list)?)
}

//! What memory is reserved for.

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The fixed cost of connections to clients and hosts.
    Connections,
    /// What the decision engine keeps of customers that sent requests.
    Customers,
    /// Long commands of clients that are not complete.
    Commands,
    /// Open requests with their arguments, as long as an attempt may need these.
    Requests,
    /// Long answers of hosts that are not complete.
    HostAnswers,
    /// Responses that clients have not taken yet.
    Responses,
    /// The windows of values that are forwarded while they arrive.
    StreamedValues,
    /// What discovery and clients of the admin interface have sent.
    Services,
}

impl Owner {
    /// All owners, in the order in which they are declared.
    pub const ALL: [Owner; 8] = [
        Owner::Connections,
        Owner::Customers,
        Owner::Commands,
        Owner::Requests,
        Owner::HostAnswers,
        Owner::Responses,
        Owner::StreamedValues,
        Owner::Services,
    ];

    /// Returns the name of the owner in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Owner::Connections => "connections",
            Owner::Customers => "customers",
            Owner::Commands => "commands",
            Owner::Requests => "requests",
            Owner::HostAnswers => "host_answers",
            Owner::Responses => "responses",
            Owner::StreamedValues => "streamed_values",
            Owner::Services => "services",
        }
    }

    /// Returns the position of the owner in [`ALL`](Self::ALL).
    pub(super) fn index(self) -> usize {
        self as usize
    }
}

//! Sends orders and state queries to engines and returns their outcomes to the control actor.

use {
    super::{
        ControlMessage, ExchangeFailure, HttpConnection, NodeContext, NodeMetrics, ServerTarget,
        attempt_slot::millis, build_request, node_clock::now, server_answers::asked_pause,
    },
    crate::core::formation::{EngineOrder, OrderBody, OrderOutcome, ProbeOutcome},
    http_body_util::{BodyExt, Limited},
    hyper::{Response, body::Incoming},
    ractor::ActorRef,
    slog::{info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest wait for the outcome of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a connection to an engine whose state is queried, and then for the state.
const PROBE_TIMEOUT: Duration = Duration::from_millis(160);

/// Largest state report in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Sends the orders and queries of one formation manager.
#[derive(Debug, Clone)]
pub(super) struct OrderSender {
    pub context: Arc<NodeContext>,
    pub actor: ActorRef<ControlMessage>,
    pub domain: String,
    pub service: String,
}

impl OrderSender {
    /// Sends an order to an engine, counts and logs its outcome and returns it to the control
    /// actor.
    pub async fn send_order(self, number: u64, address: SocketAddr, order: EngineOrder) {
        let started = now();
        let target = self.target(&order.server, address);
        let outcome = self.request_outcome(&target, number, &order).await;
        let label = outcome_label(outcome);
        NodeMetrics::count(&self.context.metrics.orders, label);
        let named = order.body.group();
        info!(self.context.logger, "finished sending an order to an engine";
            "server" => &order.server, "order" => order.body.label(),
            "group" => named.map(|(group, _)| group.to_owned()),
            "epoch" => named.map(|(_, epoch)| epoch), "model" => model_of(&order.body),
            "fence" => order.fence, "outcome" => label,
            "took_ms" => millis(now().saturating_sub(started)));
        let _ = self.actor.cast(ControlMessage::OrderFinished {
            domain: self.domain,
            service: self.service,
            server: order.server,
            number,
            outcome,
        });
    }

    /// The incarnation of the engine that is known at present.
    fn target(&self, server: &str, address: SocketAddr) -> ServerTarget {
        ServerTarget {
            server: server.to_owned(),
            born_ms: self.context.born_of(server),
            address,
        }
    }

    /// Takes what an answer to an order or a query says about the engine itself, and tells the
    /// control actor of a pause that it asks for. Returns true in that case. An answer that names a
    /// request is a late one to a caller's request on the same connection.
    fn note_answer(
        &self,
        target: &ServerTarget,
        response: &Response<Incoming>,
        asked: &str,
    ) -> bool {
        let head = (self.context.codec.read_answer)(response.headers());
        if head.request_id.is_some() {
            return false;
        }
        let notice = head.notice;
        let status = response.status();
        self.context.note_answer(target, status, &notice, asked);
        let Some(pause) = asked_pause(status, &notice) else {
            return false;
        };
        let _ = self.actor.cast(ControlMessage::CallsDeferred {
            domain: self.domain.clone(),
            service: self.service.clone(),
            server: target.server.clone(),
            pause,
        });
        true
    }

    async fn request_outcome(
        &self,
        target: &ServerTarget,
        number: u64,
        order: &EngineOrder,
    ) -> OrderOutcome {
        let address = target.address;
        let exchange = async {
            // Responses to orders name no request, so on a connection that carried others an order
            // could get the response to one of them.
            let Ok(mut connection) = self.context.pool.open(address).await else {
                return OrderOutcome::Unreachable;
            };
            let request = build_request((self.context.codec.write_order)(order), address);
            match connection.send(request).await {
                Ok(response) => {
                    if self.note_answer(target, &response, &format!("order {number}")) {
                        return OrderOutcome::Deferred;
                    }
                    (self.context.codec.read_outcome)(response.status(), response.headers())
                }
                Err(ExchangeFailure::NotSent) => OrderOutcome::Unreachable,
                Err(_) => OrderOutcome::Unanswered,
            }
        };
        let outcome = timeout(ORDER_TIMEOUT, exchange).await;
        outcome.unwrap_or(OrderOutcome::Unanswered)
    }

    /// Queries the state of an engine and returns it to the control actor.
    pub async fn probe(self, server: String, address: SocketAddr) {
        let target = self.target(&server, address);
        let outcome = match timeout(PROBE_TIMEOUT, self.context.pool.open(address)).await {
            Ok(Ok(connection)) => {
                let report = timeout(PROBE_TIMEOUT, self.read_report(&target, connection)).await;
                report.unwrap_or(Some(ProbeOutcome::Silent))
            }
            Ok(Err(_)) | Err(_) => Some(ProbeOutcome::Unreachable),
        };
        let (label, state) = match &outcome {
            Some(ProbeOutcome::Report(report)) => {
                ("answered", Some(format!("{:?}", report.membership)))
            }
            Some(ProbeOutcome::Unreachable) => ("unreachable", None),
            Some(ProbeOutcome::Silent) => ("no answer", None),
            None => ("deferred", None),
        };
        info!(self.context.logger, "queried the state of an engine"; "server" => &server,
            "outcome" => label, "state" => state);
        let Some(outcome) = outcome else {
            return;
        };
        let _ = self.actor.cast(ControlMessage::ProbeFinished {
            domain: self.domain,
            service: self.service,
            server,
            outcome,
        });
    }

    /// Reads the state of an engine; none when the engine asked for a pause, of which the control
    /// actor was told.
    async fn read_report(
        &self,
        target: &ServerTarget,
        mut connection: HttpConnection,
    ) -> Option<ProbeOutcome> {
        let request = build_request((self.context.codec.write_report_request)(), target.address);
        let Ok(response) = connection.send(request).await else {
            return Some(ProbeOutcome::Silent);
        };
        if self.note_answer(target, &response, "state query") {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let Ok(collected) = body.collect().await else {
            return Some(ProbeOutcome::Silent);
        };
        Some(
            match (self.context.codec.read_report)(&collected.to_bytes()) {
                Ok(report) => ProbeOutcome::Report(Box::new(report)),
                Err(fault) => {
                    if self
                        .context
                        .note_ignored("state_report", &target.address.to_string())
                    {
                        warn!(self.context.logger, "ignored a state report that cannot be decoded";
                        "address" => %target.address, "field" => fault.field,
                        "error" => fault.rule, "bytes" => fault.bytes);
                    }
                    ProbeOutcome::Silent
                }
            },
        )
    }
}

fn model_of(body: &OrderBody) -> Option<String> {
    match body {
        OrderBody::Join { model, .. } | OrderBody::Stage { model } => Some(model.clone()),
        _ => None,
    }
}

const fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::Done => "done",
        OrderOutcome::Unfit => "unfit",
        OrderOutcome::Outranked => "outranked",
        OrderOutcome::OtherServer => "other_server",
        OrderOutcome::Rejected => "rejected",
        OrderOutcome::Deferred => "deferred",
        OrderOutcome::Unreachable => "unreachable",
        OrderOutcome::Unanswered => "unanswered",
    }
}

//! Parsers of steps.

use std::time::Duration;

use model::CustomerId;
use stand_ins::{
    endpoint::{Fault, FaultRequest},
    forwarder::CutConnect,
};
use winnow::{
    combinator::{alt, cut_err, opt, preceded, repeat, separated, seq},
    error::{ContextError, ErrMode},
    prelude::*,
};

use crate::{
    parse::{
        contract::contract_line,
        setup::role,
        word::{bound, field, keyword, ms_field, name_except, one_of, opt_field, time, value},
        Input,
    },
    script::{
        AnswerStatus, ChangeStatus, ChangeStep, Condition, EndpointChange, EndpointStep,
        Expectation, ExpectedAnswer, Label, LinkChange, LinkStep, PlatformStep, ProcessTarget,
        RequestDedup, Step, SubmitKind, SubmitStep, TicketStep,
    },
};

pub(super) fn step(input: &mut Input<'_>) -> ModalResult<Step> {
    alt((process_step, client_step, fault_step, check_step)).parse_next(input)
}

fn process_step(input: &mut Input<'_>) -> ModalResult<Step> {
    alt((
        preceded(keyword("start"), cut_err(start)),
        preceded(keyword("kill"), cut_err(target)).map(Step::Kill),
        preceded(keyword("terminate"), cut_err(target)).map(Step::Terminate),
        preceded(keyword("freeze"), cut_err(target)).map(Step::Freeze),
        preceded(keyword("thaw"), cut_err(target)).map(Step::Thaw),
    ))
    .parse_next(input)
}

fn client_step(input: &mut Input<'_>) -> ModalResult<Step> {
    alt((
        preceded(keyword("ticket"), cut_err(ticket)).map(Step::Ticket),
        preceded(keyword("submit"), cut_err(submit)).map(Step::Submit),
        preceded(keyword("cancel"), cut_err(group)).map(Step::Cancel),
        preceded(keyword("change"), cut_err(change)).map(Step::Change),
    ))
    .parse_next(input)
}

fn fault_step(input: &mut Input<'_>) -> ModalResult<Step> {
    alt((
        preceded(keyword("cut"), cut_err(cut)).map(Step::Link),
        preceded(keyword("cut-one-way"), cut_err(link(LinkChange::CutOneWay))).map(Step::Link),
        preceded(keyword("reset"), cut_err(link(LinkChange::Reset))).map(Step::Link),
        preceded(keyword("delay"), cut_err(delay)).map(Step::Link),
        keyword("heal").value(Step::Heal),
        preceded(keyword("platform"), cut_err(platform)).map(Step::Platform),
        preceded(keyword("endpoint"), cut_err(endpoint)).map(Step::Endpoint),
    ))
    .parse_next(input)
}

fn check_step(input: &mut Input<'_>) -> ModalResult<Step> {
    alt((
        preceded(keyword("wait"), cut_err(wait)),
        preceded(keyword("expect"), cut_err(expectation)).map(Step::Expect),
    ))
    .parse_next(input)
}

fn start(input: &mut Input<'_>) -> ModalResult<Step> {
    let target = target.parse_next(input)?;
    let unready = opt(keyword("unready")).parse_next(input)?.is_some();
    Ok(Step::Start { target, unready })
}

fn target(input: &mut Input<'_>) -> ModalResult<ProcessTarget> {
    one_of(
        "all, vm, entry or dispatcher",
        alt((
            keyword("all").value(ProcessTarget::All),
            field("vm", "a VM").map(ProcessTarget::Vm),
            (role, cut_err(value("a VM"))).map(|(role, vm)| ProcessTarget::One(role, vm)),
        )),
    )
    .parse_next(input)
}

fn group(input: &mut Input<'_>) -> ModalResult<Label> {
    value("the name of a submission").parse_next(input)
}

fn via(input: &mut Input<'_>) -> ModalResult<Option<Label>> {
    opt_field("via", "a VM").parse_next(input)
}

fn ticket(input: &mut Input<'_>) -> ModalResult<TicketStep> {
    seq! {TicketStep {
        name: value("a name for the ticket"),
        customer: field("customer", "a customer"),
        via: via,
    }}
    .parse_next(input)
}

fn submit(input: &mut Input<'_>) -> ModalResult<SubmitStep> {
    one_of(
        "job or request",
        alt((
            preceded(keyword("job"), cut_err(submit_job)),
            preceded(keyword("request"), cut_err(submit_request)),
        )),
    )
    .parse_next(input)
}

fn submit_job(input: &mut Input<'_>) -> ModalResult<SubmitStep> {
    let name = group.parse_next(input)?;
    let customer = field("customer", "a customer").parse_next(input)?;
    let tasks = field("tasks", "a number").parse_next(input)?;
    submit_fields(name, customer, SubmitKind::Job { tasks }, input)
}

fn submit_request(input: &mut Input<'_>) -> ModalResult<SubmitStep> {
    let name = group.parse_next(input)?;
    let customer = field("customer", "a customer").parse_next(input)?;
    let deduplication = request_dedup.parse_next(input)?;
    submit_fields(name, customer, SubmitKind::Request(deduplication), input)
}

fn submit_fields(
    name: Label,
    customer: CustomerId,
    kind: SubmitKind,
    input: &mut Input<'_>,
) -> ModalResult<SubmitStep> {
    Ok(SubmitStep {
        name,
        kind,
        customer,
        run: ms_field("run-ms").parse_next(input)?,
        deadline: ms_field("deadline-ms").parse_next(input)?,
        declared: opt(ms_field("declared-ms")).parse_next(input)?,
        fail_task: opt_field("fail-task", "a number").parse_next(input)?,
        variant: opt_field("variant", "a number").parse_next(input)?,
        times: opt_field("times", "a number")
            .parse_next(input)?
            .unwrap_or(1),
        every: opt(ms_field("every-ms"))
            .parse_next(input)?
            .unwrap_or(Duration::ZERO),
        via: via.parse_next(input)?,
    })
}

fn request_dedup(input: &mut Input<'_>) -> ModalResult<RequestDedup> {
    one_of(
        "plain, key or ticket",
        alt((
            keyword("plain").value(RequestDedup::Plain),
            field("key", "an idempotency key").map(RequestDedup::Key),
            field("ticket", "a ticket").map(RequestDedup::Ticket),
        )),
    )
    .parse_next(input)
}

fn change(input: &mut Input<'_>) -> ModalResult<ChangeStep> {
    seq! {ChangeStep {
        name: value("a name for the change"),
        _: keyword("customer"),
        line: contract_line,
        via: via,
    }}
    .parse_next(input)
}

fn place(input: &mut Input<'_>) -> ModalResult<Label> {
    value("a VM, endpoint, data centre or `platform`").parse_next(input)
}

fn link<'a>(change: LinkChange) -> impl Parser<Input<'a>, LinkStep, ErrMode<ContextError>> {
    (place, place).map(move |(from, to)| LinkStep { from, to, change })
}

fn cut(input: &mut Input<'_>) -> ModalResult<LinkStep> {
    let (from, to) = (place, place).parse_next(input)?;
    let refuse = opt(keyword("refuse")).parse_next(input)?.is_some();
    let connects = if refuse {
        CutConnect::Refuse
    } else {
        CutConnect::Hang
    };
    Ok(LinkStep {
        from,
        to,
        change: LinkChange::Cut(connects),
    })
}

fn delay(input: &mut Input<'_>) -> ModalResult<LinkStep> {
    (place, place, time)
        .map(|(from, to, time)| LinkStep {
            from,
            to,
            change: LinkChange::Delay(time),
        })
        .parse_next(input)
}

fn platform(input: &mut Input<'_>) -> ModalResult<PlatformStep> {
    one_of(
        "what the platform does",
        alt((
            keyword("up").value(PlatformStep::Up),
            keyword("down").value(PlatformStep::Down),
            keyword("closed").value(PlatformStep::Closed),
            keyword("read-only").value(PlatformStep::ReadOnly),
            preceded(keyword("slow"), cut_err(time)).map(PlatformStep::Slow),
            preceded(keyword("stale"), cut_err(time)).map(PlatformStep::Stale),
            field("lose-answers", "a number").map(PlatformStep::LoseAnswers),
            preceded(
                keyword("race"),
                cut_err((value("a customer"), value("a number"))),
            )
            .map(|(customer, times)| PlatformStep::Race(customer, times)),
        )),
    )
    .parse_next(input)
}

fn endpoint(input: &mut Input<'_>) -> ModalResult<EndpointStep> {
    seq! {EndpointStep {
        name: value("an endpoint"),
        change: one_of("leave, stop or fault", alt((
            keyword("leave").value(EndpointChange::Leave),
            keyword("stop").value(EndpointChange::Stop),
            preceded(keyword("fault"), cut_err(fault_request)).map(EndpointChange::Fault),
        ))),
    }}
    .parse_next(input)
}

fn fault_request(input: &mut Input<'_>) -> ModalResult<FaultRequest> {
    seq! {FaultRequest {
        fault: fault,
        times: opt_field("next", "a number"),
    }}
    .parse_next(input)
}

fn fault(input: &mut Input<'_>) -> ModalResult<Fault> {
    let whole = alt((
        keyword("healthy").value(Fault::Healthy),
        keyword("fail-all").value(Fault::FailAll),
        keyword("busy").value(Fault::Busy),
        keyword("leaving").value(Fault::Leaving),
        keyword("wrong-attempt").value(Fault::WrongAttempt),
        keyword("no-attempt").value(Fault::NoAttempt),
        keyword("cut-answer").value(Fault::CutAnswer),
        keyword("cut-chunks").value(Fault::CutChunks),
    ));
    let closing = alt((
        keyword("close-after-start").value(Fault::CloseAfterStart),
        keyword("close-at-start").value(Fault::CloseAtStart),
        keyword("redirect").value(Fault::Redirect),
        keyword("server-error").value(Fault::ServerError),
    ));
    let timed = alt((
        field("slow", "a factor").map(|factor| Fault::Slow { factor }),
        field("silent-ms", "milliseconds").map(|ms| Fault::Silent { ms }),
        field("late-ms", "milliseconds").map(|ms| Fault::Late { ms }),
        field("crossed-ms", "milliseconds").map(|ms| Fault::Crossed { ms }),
    ));
    one_of("a fault", alt((whole, closing, timed))).parse_next(input)
}

fn wait(input: &mut Input<'_>) -> ModalResult<Step> {
    seq! {Step::Wait {
        _: keyword("until"),
        condition: condition,
        _: keyword("within"),
        within: time,
    }}
    .parse_next(input)
}

fn condition(input: &mut Input<'_>) -> ModalResult<Condition> {
    one_of(
        "a condition",
        alt((
            preceded(
                keyword("running"),
                cut_err((bound, opt_field("on", "an endpoint"))),
            )
            .map(|(bound, endpoint)| Condition::Running { bound, endpoint }),
            preceded(keyword("started"), cut_err((group, bound)))
                .map(|(group, bound)| Condition::Started { group, bound }),
            preceded(keyword("answered"), cut_err((group, opt(bound))))
                .map(|(group, bound)| Condition::Answered { group, bound }),
            preceded(keyword("ready"), cut_err(target)).map(Condition::Ready),
            preceded(keyword("unready"), cut_err(target)).map(Condition::Unready),
            preceded(keyword("live"), cut_err(target)).map(Condition::Live),
            preceded(keyword("exited"), cut_err(target)).map(Condition::Exited),
            preceded(keyword("entries"), cut_err(entries_answer)),
        )),
    )
    .parse_next(input)
}

fn entries_answer(input: &mut Input<'_>) -> ModalResult<Condition> {
    seq! {Condition::EntriesAnswer {
        _: keyword("answer"),
        customer: value("a customer"),
        answer: expected_answer,
    }}
    .parse_next(input)
}

fn expectation(input: &mut Input<'_>) -> ModalResult<Expectation> {
    alt((
        preceded(keyword("starts"), cut_err((group, bound)))
            .map(|(group, bound)| Expectation::Starts { group, bound }),
        preceded(keyword("peak"), cut_err(peak)),
        preceded(keyword("turned-away"), cut_err(bound)).map(Expectation::TurnedAway),
        preceded(keyword("same-answer"), cut_err((group, group)))
            .map(|(first, second)| Expectation::SameAnswer(first, second)),
        preceded(keyword("changes"), cut_err(changes)),
        answers,
    ))
    .parse_next(input)
}

fn peak(input: &mut Input<'_>) -> ModalResult<Expectation> {
    seq! {Expectation::Peak {
        customer: value("a customer"),
        bound: bound,
        from: opt_field("from", "a group"),
    }}
    .parse_next(input)
}

fn answers(input: &mut Input<'_>) -> ModalResult<Expectation> {
    seq! {Expectation::Answers {
        group: group,
        bound: opt(bound),
        answers: separated(1.., expected_answer, keyword("or")),
    }}
    .parse_next(input)
}

fn expected_answer(input: &mut Input<'_>) -> ModalResult<ExpectedAnswer> {
    seq! {ExpectedAnswer {
        status: answer_status,
        reason: opt(name_except("a reason", &["or", "within"])),
    }}
    .parse_next(input)
}

fn answer_status(input: &mut Input<'_>) -> ModalResult<AnswerStatus> {
    one_of(
        "complete, failed, refused, unknown or lost",
        alt((
            keyword("complete").value(AnswerStatus::Complete),
            keyword("failed").value(AnswerStatus::Failed),
            keyword("refused").value(AnswerStatus::Refused),
            keyword("unknown").value(AnswerStatus::Unknown),
            keyword("lost").value(AnswerStatus::Lost),
        )),
    )
    .parse_next(input)
}

fn changes(input: &mut Input<'_>) -> ModalResult<Expectation> {
    const WORDS: &[&str] = &[
        "at-least", "at-most", "exactly", "accepted", "conflict", "failed", "unknown",
    ];
    seq! {Expectation::Changes {
        names: repeat(1.., name_except("a change", WORDS)),
        bound: opt(bound),
        ends: separated(1.., change_status, keyword("or")),
    }}
    .parse_next(input)
}

fn change_status(input: &mut Input<'_>) -> ModalResult<ChangeStatus> {
    one_of(
        "accepted, conflict, failed or unknown",
        alt((
            keyword("accepted").value(ChangeStatus::Accepted),
            keyword("conflict").value(ChangeStatus::Conflict),
            keyword("failed").value(ChangeStatus::Failed),
            keyword("unknown").value(ChangeStatus::Unknown),
        )),
    )
    .parse_next(input)
}

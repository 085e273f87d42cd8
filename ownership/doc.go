// Package ownership decides which orders the leader sends to backend servers, so
// that each key has at most one owner at any time. An order grants a range of
// keys to a server or releases it. A hold is the time-limited right of a server
// to run requests for a range of keys, which a grant starts or renews.
//
// It is safe for these reasons:
//
//   - Keys are granted to a server only after the store has a table that names
//     the server as their owner, with a fence higher than all earlier ones. The
//     next leader therefore knows every server that may hold a key.
//   - A hold starts when its order arrives at the server, and is measured by the
//     clock of the server, which may run slow. The leader derives an upper bound
//     of its end from the time at which the order was answered or its connection
//     was reset.
//   - Keys are assigned to another owner only in one of two cases: the last
//     owner has answered the release, and no unanswered order can still take
//     effect; or every hold that the last owner may have has expired. A refused
//     connection does not show that a server has stopped, because servers refuse
//     connections while their queue is long. A new incarnation of a server may
//     have taken grants for the earlier one, so it has to answer the release too.
//   - A new leader does not know the orders of its predecessor. They were answered
//     or given up before its own lease began, or stay in transit for up to
//     maxSurvival if the process was killed, so it bounds their holds from that
//     moment. Their owner refuses them once it has accepted a higher fence, see
//     Raising.
//
// Machine does no I/O and reads no clock: the caller passes in the time, sends
// the orders and reports their results. It is not safe for concurrent use.
package ownership

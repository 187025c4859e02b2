// Package shift decides in which region a request is served.
//
// # Plans
//
// A request belongs to the home region of its caller. [Rules.Decide] returns a
// [Plan]: the capacity cells that may serve the request, best first, and for each
// cell the budgets that must be spent before the request is sent there. The plan
// rests on the load that cells last reported, so the keeper of a cell, which is
// its leaseholder, makes the final decision. Its refusal proves that nothing ran,
// so the next option may be tried.
//
// # Causes
//
// Traffic leaves its home region for one of these causes, each limited by caps
// on requests and bytes a second:
//
//   - A move and the drain of a region are planned. What exceeds their caps is
//     served at home.
//   - A failure of the home region is not planned. What exceeds its cap is
//     refused.
//   - Overflow leaves a home region that has refused the request. It counts
//     against the same cap as a failure.
//
// A request whose route doesn't allow its home region is served elsewhere without
// such a cap.
//
// # Paces
//
// A planned shift grows in steps up to its goal. The keeper of its cap's cell runs
// a [Stepper] and sends the current share of the shift with its grants, so that
// all hosts use the same share.
package shift

// Package spillover decides which part of the requests to a service may leave the availability zone of an entry.
//
// Each entry decides alone, on the times to the first byte that it expects in its zone and in the others. All entries see
// about the same figures at about the same time, so that a decision on each request alone would swing between the zones.
// A Control moves a part of the requests instead:
//
//  1. The part rises once the own zone is slower than the others by a margin for longer than a report takes, in steps that
//     grow with what exceeds the margin and are bounded by the room elsewhere.
//  2. It falls by one step at a time while the difference is below half of the margin.
//  3. It stays while the difference already changes in the wanted direction, since the last step still takes effect.
//
// Without recent figures a Control decides nothing. It keeps no history of rates: the part holds for whatever is asked now.
// A Control is a state machine that takes events and a clock and performs no I/O. The caller serialises all calls.
package spillover

// Package fairshare decides which requests of a service pass while the service has too little room for all of them.
//
// All entries together form one view: each tells the others what its callers offer by class, and each computes the
// same shares from the sums. A share is the part of what is offered that passes, so that it does not matter which
// entries the callers use. Room is given in this order:
//
//  1. Workspaces of a more urgent rank come first.
//  2. Workspaces of one rank get room by their weights. What one leaves is lent to the others, and ends with its next
//     demand. The weight of a workspace that has used more than an equal part while there was room for all is that part.
//  3. Within a workspace the more urgent requests come first.
//
// Service is a state machine: it takes events and a clock and performs no I/O. While room is enough it refuses nothing
// and has nothing to tell.
package fairshare

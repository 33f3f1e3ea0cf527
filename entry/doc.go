// Package entry is the process on an entry VM. It takes requests from callers over
// HTTP, chooses an endpoint for each attempt, relays responses, exchanges
// configuration and membership with the other processes, and places models while it
// holds the placement lease.
package entry

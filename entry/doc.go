// Package entry is the process on an entry VM. It takes requests from callers over
// HTTP, chooses an endpoint for each attempt, relays responses, and spreads
// configuration and membership.
package entry

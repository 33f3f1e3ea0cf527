// Package hosted is the endpoint role on the users' platform: the process beside a model
// worker. It fetches weights with the other processes of its kind, hands them to the
// worker, orders the worker to load them, and reports the worker's load to the entries.
// Requests do not pass through it.
package hosted

// Package hosted implements the endpoint role on the users' platform: the process that is
// co-located with a model worker. It fetches weights together with the other endpoint
// processes, stages them at the worker, orders the worker to load them, and reports the
// worker's load to the entries. Requests do not pass through it.
package hosted

// Package hosted is the entry role on the users' platform. It takes requests from callers and
// sends them directly to workers. Routing, retries and dispatch are decided by the packages that
// the product's own entry (package entry) uses: lib/routing, lib/retry and lib/dispatch. The formats of the
// platform are in the package platform.
package hosted

// Package hosted is the entry role on the users' platform. It takes requests from
// callers and sends them straight to workers. What it decides is decided by the packages
// that the product's own entry uses: lib/routing, lib/retry and lib/dispatch. The formats
// of the platform are in the package platform.
package hosted

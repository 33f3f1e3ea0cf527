// Package endpoint is the process on an endpoint VM. All work for the VM's
// endpoint passes through it: it admits requests, keeps the at-most-once journal,
// fetches and verifies weights, commands the engine and reports load.
package endpoint

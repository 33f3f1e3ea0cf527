// Package endpoint implements the endpoint process of an endpoint VM. All requests to
// the VM's endpoint pass through it: it admits requests, keeps the at-most-once journal,
// fetches and verifies weights, commands the engine and reports load.
package endpoint

// Command laburnumgw is the daemon. It runs as an entry or as an endpoint process.
package main

func main() {}

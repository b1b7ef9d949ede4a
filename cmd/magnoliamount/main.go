// Command magnoliamount distributes the configuration of a service mesh and
// carries its requests.
package main

func main() {}

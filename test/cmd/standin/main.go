// Command standin serves the stand-in of the platform for tests and demos.
package main

func main() {}

// Command demo shows a whole move in about half a minute, with all parts as
// separate processes on loopback addresses: a ticket that sets up a service,
// one that moves its traffic to a good version, and one whose version fails
// and is taken back, while a caller sends a steady stream of requests.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 44 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "magnoliamount-demo-")
	if err == nil {
		err = runDemo(ctx, dir)
	}
	if err != nil {
		fmt.Println("demo failed:", err)
		fmt.Println("logs are in", dir)
		cancel()
		os.Exit(1)
	}
	_ = os.RemoveAll(dir)
	fmt.Println("demo passed")
}

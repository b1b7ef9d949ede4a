// Command demo shows complete moves in about half a minute, with all components
// as separate processes on loopback addresses. One ticket sets up a service, one
// moves its traffic to a good version, and one moves it to a version that fails
// and is taken back, while a caller sends requests at a steady rate.
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

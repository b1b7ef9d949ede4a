package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

// uploadBytes is the length of a scan, the mean of the users' uploads.
const uploadBytes = 60000

// headBytes is the length of the part that all scans have in common, as the files of one
// scanner do: the head of the format with the colour profile.
const headBytes = 8 << 10

// scan returns a file whose content after the head tells it from all others.
func scan(head byte, name string) []byte {
	file := bytes.Repeat([]byte{head}, headBytes)
	for len(file) < uploadBytes {
		file = append(file, name...)
	}
	return file[:uploadBytes]
}

// maskedCrash plays this: one file crashes each server that begins to work on it. It comes
// again every five seconds, with the same path, caller and body. Other files have the same
// first bytes and do no harm. Without the disruption the file is not sent.
func maskedCrash(rec *recorder, trouble bool) (verdict, error) {
	w, err := newWorld(rec, "vault", "vault", "vault")
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	w.configure([]string{"vault"}, route{"r-upload", "vault.example", "/upload/", "upload", "vault"})
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	head := byte('h')
	if os.Getenv("OWN_HEAD") != "" {
		// For the claim: a file whose first bytes differ from those of all others.
		head = byte('x')
	}
	harmful := scan(head, "harmful ")
	var mu sync.Mutex
	var crashes []time.Time
	for _, m := range w.machines {
		m.server.crashes = func(body []byte) bool { return bytes.Equal(body, harmful) }
	}
	lost := 0
	record := func(_ request, _ time.Time, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.status != 200 {
			lost++
		}
	}
	traffic := startTraffic(w, 25*time.Millisecond, func(i int) request {
		id := fmt.Sprintf("scan-%d", i)
		return request{machine: w.machines[i%3], method: "POST", host: "vault.example", path: "/upload/scan", id: id, body: scan('h', id+" ")}
	}, record)
	time.Sleep(8 * time.Second)
	retries := 0
	for i := range 10 {
		if trouble {
			var sent sync.Mutex
			ran := false
			for _, m := range w.machines {
				m.server.onRun = func(id string, _ time.Time) {
					sent.Lock()
					defer sent.Unlock()
					ran = ran || id == fmt.Sprintf("harmful-%d", i)
				}
			}
			at := time.Now()
			a := w.send(request{machine: w.machines[i%3], method: "POST", host: "vault.example", path: "/upload/scan", id: fmt.Sprintf("harmful-%d", i), body: harmful})
			sent.Lock()
			rec.add("script", "the harmful request, time %d, reached a server: %v; its client got %s", i+1, ran, a)
			if ran {
				if len(crashes) >= 3 && at.Sub(crashes[2]) > contact {
					retries++
				}
				crashes = append(crashes, time.Now())
			}
			sent.Unlock()
		}
		time.Sleep(2500 * time.Millisecond)
		for _, m := range w.machines {
			m.server.mu.Lock()
			down := !m.server.up
			m.server.mu.Unlock()
			if down {
				if err := m.server.start(); err != nil {
					return verdict{}, err
				}
			}
		}
		time.Sleep(2500 * time.Millisecond)
	}
	traffic.stop()
	return verdict{retries > 3, fmt.Sprintf("BUDGET: the request crashed %d servers; after the third and %s it reached servers in %d retries; allowed 3. %d other uploads failed.", len(crashes), contact, retries, lost)}, nil
}

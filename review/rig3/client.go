package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client, with what the client saw.
type sent struct {
	id, machine, method, path string
	at, end                   time.Time
	// status is 0 without an answer.
	status int
	signed bool
	body   string
}

// clients sends requests and records them.
type clients struct {
	rec  *record
	mu   sync.Mutex
	all  []sent
	next int
	// transports holds the kept connections, by address.
	transports map[string]*http.Transport
	group      sync.WaitGroup
}

func newClients(rec *record) *clients {
	return &clients{rec: rec, transports: map[string]*http.Transport{}}
}

func (c *clients) transport(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transports[address] == nil {
		c.transports[address] = &http.Transport{
			MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}
	}
	return c.transports[address]
}

// send sends one request to the daemon of the machine and waits for its end. The path is
// sent as it is.
func (c *clients) send(m *machine, host, method, path string, deadline time.Duration) sent {
	return c.sendWithKey(m, host, method, path, deadline, "")
}

// sendWithKey is send with an API key, which may be empty.
func (c *clients) sendWithKey(m *machine, host, method, path string, deadline time.Duration, key string) sent {
	c.mu.Lock()
	c.next++
	s := sent{id: fmt.Sprintf("%s-%06d", strings.ToLower(method), c.next), machine: m.name, method: method, path: path, at: time.Now()}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader("order " + s.id))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+"/", body)
	if err != nil {
		panic(err)
	}
	if method == http.MethodPost {
		r.ContentLength = int64(len("order " + s.id))
	}
	r.URL = &url.URL{Scheme: "http", Host: m.outbound, Opaque: path}
	r.Host = host
	r.Header.Set(requestID, s.id)
	r.Header.Set(deadlineName, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	c.rec.line("client at %s: sends %s %s %s", m.name, s.id, method, path)
	response, err := c.transport(m.outbound).RoundTrip(r)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err = readErr; err == nil {
			s.status, s.signed, s.body = response.StatusCode, response.Header.Get(signature) != "", string(data)
		}
	}
	s.end = time.Now()
	if err != nil {
		c.rec.line("client at %s: %s gets no answer: %v", m.name, s.id, err)
	} else {
		c.rec.line("client at %s: %s gets %d, signed %v: %.120q", m.name, s.id, s.status, s.signed, strings.TrimSpace(s.body))
	}
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	return s
}

// stream sends requests at the interval until stop is closed. path gets the number of the
// request.
func (c *clients) stream(m *machine, host, method string, path func(i int) string, deadline, interval time.Duration, stop <-chan struct{}) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				c.group.Add(1)
				go func() {
					defer c.group.Done()
					c.send(m, host, method, path(i), deadline)
				}()
			case <-stop:
				return
			}
		}
	}()
}

// streamWithKey is stream for GET requests with an API key.
func (c *clients) streamWithKey(m *machine, host string, path func(i int) string, key string, deadline, interval time.Duration, stop <-chan struct{}) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				c.group.Add(1)
				go func() {
					defer c.group.Done()
					c.sendWithKey(m, host, http.MethodGet, path(i), deadline, key)
				}()
			case <-stop:
				return
			}
		}
	}()
}

func (c *clients) list() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}

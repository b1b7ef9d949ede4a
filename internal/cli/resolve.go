package cli

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
)

// resolvedSuffix names the file that keeps a ticket with resolved times.
const resolvedSuffix = ".resolved"

// maxResolvedBytes bounds that file, which holds the ticket and the source's digest.
const maxResolvedBytes = 2 * model.MaxTicketBytes

// resolution is the content of the file. A ticket with relative times would
// have another digest on each run, and running a submission again would be
// refused as another ticket with the same number.
type resolution struct {
	// SourceSHA256 identifies the ticket file that was resolved.
	SourceSHA256 string          `json:"source_sha256"`
	Ticket       json.RawMessage `json:"ticket"`
}

// resolvedFile is where a resolution is kept; empty when there is none.
type resolvedFile string

// readForSubmit reads a ticket whose digest is the same on every run.
func (a *app) readForSubmit(path string) (*model.Ticket, resolvedFile, error) {
	data, err := a.readTicketFile(path)
	if err != nil {
		return nil, "", err
	}
	if path == "-" || !ticketfile.Relative(data) {
		t, err := ticketfile.Decode(data, ticketfile.Options{})
		return t, "", badInput(err)
	}
	kept := resolvedFile(path + resolvedSuffix)
	digest := sha256.Sum256(data)
	source := hex.EncodeToString(digest[:])
	if t, err := kept.read(source); t != nil || err != nil {
		return t, kept, err
	}
	t, err := ticketfile.Decode(data, ticketfile.Options{Accepted: a.config.Now()})
	if err != nil {
		return nil, "", badInput(err)
	}
	if err := kept.write(source, t); err != nil {
		return nil, "", err
	}
	_, _ = fmt.Fprintf(a.config.Stderr, "magnoliamount: relative finish times are resolved in %s\n", kept)
	return t, kept, nil
}

// read returns the ticket of an earlier run with the same source, or nil.
func (f resolvedFile) read(source string) (*model.Ticket, error) {
	if _, err := os.Stat(string(f)); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	data, err := readBounded(string(f), maxResolvedBytes)
	if err != nil {
		return nil, err
	}
	var kept resolution
	if err := json.Unmarshal(data, &kept); err != nil {
		return nil, usage(err, "%s is damaged; remove it to resolve the times again", f)
	}
	if kept.SourceSHA256 != source {
		return nil, nil
	}
	t, err := ticketfile.Decode(kept.Ticket, ticketfile.Options{})
	if err != nil {
		return nil, usage(err, "%s is damaged; remove it to resolve the times again", f)
	}
	return t, nil
}

// write keeps the ticket before it is sent. The rename makes sure that a
// reader never sees half of it.
func (f resolvedFile) write(source string, t *model.Ticket) error {
	encoded, err := ticketfile.Compact(t)
	if err != nil {
		return badInput(err)
	}
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(resolution{SourceSHA256: source, Ticket: encoded}); err != nil {
		return failed(fault.Wrap(err, fault.Internal, "encode %s", f))
	}
	temporary := string(f) + ".tmp"
	if err := os.WriteFile(temporary, content.Bytes(), 0o600); err != nil {
		return usage(err, "%s cannot be written; give absolute finish times or a writable directory", f)
	}
	if err := os.Rename(temporary, string(f)); err != nil {
		return usage(err, "%s cannot be written; give absolute finish times or a writable directory", f)
	}
	return nil
}

// forgetAfter removes the resolution when the ticket was refused for good, so
// that the next run resolves the times anew. A wrong token says nothing about
// an earlier run, so the resolution stays.
func (f resolvedFile) forgetAfter(err error) {
	if f == "" {
		return
	}
	switch fault.KindOf(err) {
	case fault.Invalid, fault.NotFound, fault.NumberTaken, fault.OutOfOrder, fault.OpenMove, fault.Inconsistent:
		_ = os.Remove(string(f))
	}
}

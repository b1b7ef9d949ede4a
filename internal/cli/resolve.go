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

// resolvedSuffix is appended to the name of a ticket file to name the file that
// stores the ticket with resolved times.
const resolvedSuffix = ".resolved"

// maxResolvedBytes is the maximum size of that file, which contains the ticket and
// the digest of its source.
const maxResolvedBytes = 2 * model.MaxTicketBytes

// resolvedTicket is the content of the file. Without it, a ticket with relative
// times would have a different digest on each run, and a retried submission would
// be refused as another ticket with the same number.
type resolvedTicket struct {
	// SourceSHA256 is the hexadecimal digest of the ticket file that was resolved.
	SourceSHA256 string          `json:"source_sha256"`
	Ticket       json.RawMessage `json:"ticket"`
}

// resolvedFile is the path of a stored resolvedTicket. It is empty for a ticket
// without relative times.
type resolvedFile string

// readForSubmit reads the ticket at path and resolves its relative times. A later
// run with an unchanged file returns a ticket with the same digest.
func (a *app) readForSubmit(path string) (*model.Ticket, resolvedFile, error) {
	data, err := a.readTicketFile(path)
	if err != nil {
		return nil, "", err
	}
	if path == "-" || !ticketfile.HasRelativeFinish(data) {
		t, err := ticketfile.Decode(data, ticketfile.Options{})
		return t, "", inputError(err)
	}
	resolved := resolvedFile(path + resolvedSuffix)
	digest := sha256.Sum256(data)
	source := hex.EncodeToString(digest[:])
	if t, err := resolved.read(source); t != nil || err != nil {
		return t, resolved, err
	}
	t, err := ticketfile.Decode(data, ticketfile.Options{Accepted: a.config.Now()})
	if err != nil {
		return nil, "", inputError(err)
	}
	if err := resolved.write(source, t); err != nil {
		return nil, "", err
	}
	_, _ = fmt.Fprintf(a.config.Stderr, "magnoliamount: the resolved finish times are stored in %s\n", resolved)
	return t, resolved, nil
}

// read returns the ticket that an earlier run stored for the same source digest,
// or nil when there is none.
func (f resolvedFile) read(source string) (*model.Ticket, error) {
	if _, err := os.Stat(string(f)); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	data, err := readFileLimited(string(f), maxResolvedBytes)
	if err != nil {
		return nil, err
	}
	var stored resolvedTicket
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, usageError(err, "%s is damaged; remove it to resolve the times again", f)
	}
	if stored.SourceSHA256 != source {
		return nil, nil
	}
	t, err := ticketfile.Decode(stored.Ticket, ticketfile.Options{})
	if err != nil {
		return nil, usageError(err, "%s is damaged; remove it to resolve the times again", f)
	}
	return t, nil
}

// write stores the ticket; it is called before the ticket is sent. The rename
// makes the replacement atomic, so that no reader gets a partial file.
func (f resolvedFile) write(source string, t *model.Ticket) error {
	encoded, err := ticketfile.Compact(t)
	if err != nil {
		return inputError(err)
	}
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(resolvedTicket{SourceSHA256: source, Ticket: encoded}); err != nil {
		return failureError(fault.Wrap(err, fault.Internal, "encode %s", f))
	}
	temporary := string(f) + ".tmp"
	if err := os.WriteFile(temporary, content.Bytes(), 0o600); err != nil {
		return usageError(err, "%s cannot be written; use absolute finish times or a writable directory", f)
	}
	if err := os.Rename(temporary, string(f)); err != nil {
		return usageError(err, "%s cannot be written; use absolute finish times or a writable directory", f)
	}
	return nil
}

// removeIfRefused deletes the file when err is a permanent refusal of the ticket,
// so that the next run resolves the times again. After a refused token the file
// stays, because an earlier run may have submitted the ticket.
func (f resolvedFile) removeIfRefused(err error) {
	if f == "" {
		return
	}
	switch fault.KindOf(err) {
	case fault.Invalid, fault.NotFound, fault.NumberTaken, fault.OutOfOrder, fault.OpenMove, fault.Inconsistent:
		_ = os.Remove(string(f))
	}
}

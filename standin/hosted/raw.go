package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// PutRaw writes an object with a value that encoding/json does not write, as another writer may: it
// is nested too deeply, or holds other numbers.
func (s *Store) PutRaw(kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, value)
}

// encode returns the JSON form of an object, with its value as it was written.
func (o *Object) encode() []byte {
	// An object without its value has a JSON form.
	metadata, _ := json.Marshal(o.Metadata)
	specification, status := o.Specification, o.Status
	if specification == nil {
		specification = json.RawMessage("null")
	}
	if status == nil {
		status = json.RawMessage("null")
	}
	return fmt.Appendf(nil, `{"metadata":%s,"specification":%s,"status":%s}`, metadata, specification, status)
}

func (e *event) encode() []byte {
	return fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, e.Object.encode(), e.Deleted)
}

// respondPage sends a list of objects or events, and the revision of the store.
func respondPage(w http.ResponseWriter, field string, elements [][]byte, revision int64) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only when the caller has disconnected.
	_, _ = fmt.Fprintf(w, `{"%s":[%s],"has_more":false,"current_rev":%d}`, field, bytes.Join(elements, []byte(",")), revision)
}

package drain

import (
	"net/http"

	"github.com/urfave/negroni/v3"
)

// CloseWhileLeaving returns a middleware that asks callers to close their connection after
// the response if leaving returns true when the response header is written, also when the
// request arrived before.
func CloseWhileLeaving(leaving func() bool) negroni.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		if response, ok := w.(negroni.ResponseWriter); ok {
			response.Before(func(response negroni.ResponseWriter) {
				if leaving() {
					response.Header().Set("Connection", "close")
				}
			})
		}
		next(w, r)
	}
}

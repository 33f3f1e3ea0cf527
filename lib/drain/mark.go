package drain

import (
	"net/http"

	"github.com/urfave/negroni/v3"
)

// CloseWhileLeaving returns a middleware that asks callers to leave their connection with the next
// answer while leaving returns true, also when that began after the request.
func CloseWhileLeaving(leaving func() bool) negroni.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		if answer, ok := w.(negroni.ResponseWriter); ok {
			answer.Before(func(answer negroni.ResponseWriter) {
				if leaving() {
					answer.Header().Set("Connection", "close")
				}
			})
		}
		next(w, r)
	}
}

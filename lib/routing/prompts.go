package routing

// promptTokensFit reports whether the prompt keeps the waiting prompt tokens at the endpoint
// within the limit, of which only this entry's own are known. One request may always wait.
func promptTokensFit(q *query, e *endpoint, _ *candidate) bool {
	return e.waitingPromptTokens <= 0 || e.waitingPromptTokens+q.request.PromptTokens <= q.maxWaitingPromptTokens
}

package plat

// UnavailableError reports that the service did not answer, or that its answer violated the protocol.
type UnavailableError struct {
	key   string
	cause error
}

// Key returns the requested key.
func (e *UnavailableError) Key() string { return e.key }

// Unwrap returns the cause of the error.
func (e *UnavailableError) Unwrap() error { return e.cause }

// Error implements error.
func (e *UnavailableError) Error() string {
	return "configuration service unavailable for " + e.key + ": " + e.cause.Error()
}

// RateLimitedError reports that the service refused a call because its rate limit was exceeded.
type RateLimitedError struct{ key string }

// Key returns the requested key.
func (e *RateLimitedError) Key() string { return e.key }

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "configuration service refused a call above its rate limit for " + e.key
}

// UnknownKeyError reports that the service does not have the key.
type UnknownKeyError struct{ key string }

// Key returns the requested key.
func (e *UnknownKeyError) Key() string { return e.key }

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return "configuration service has no key " + e.key
}

// TooLargeError reports that a value exceeds the size limit of the service itself.
type TooLargeError struct{ key string }

// Key returns the requested key.
func (e *TooLargeError) Key() string { return e.key }

// Error implements error.
func (e *TooLargeError) Error() string {
	return "value of " + e.key + " exceeds the size limit of the configuration service"
}

// NewUnavailableError returns an UnavailableError. It is for fakes of the client in tests.
func NewUnavailableError(key string, cause error) error {
	return &UnavailableError{key: key, cause: cause}
}

// NewRateLimitedError returns a RateLimitedError. It is for fakes of the client in tests.
func NewRateLimitedError(key string) error { return &RateLimitedError{key: key} }

// NewUnknownKeyError returns an UnknownKeyError. It is for fakes of the client in tests.
func NewUnknownKeyError(key string) error { return &UnknownKeyError{key: key} }

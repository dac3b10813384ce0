package plat

// UnavailableError says that the service did not answer, or not according to its protocol.
type UnavailableError struct {
	key   string
	cause error
}

// Key returns the key that was asked for.
func (e *UnavailableError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// Error returns the text of the error.
func (e *UnavailableError) Error() string {
	return "configuration service unavailable for " + e.key + ": " + e.cause.Error()
}

// RateLimitedError says that the service refused a call because of its rate.
type RateLimitedError struct{ key string }

// Key returns the key that was asked for.
func (e *RateLimitedError) Key() string { return e.key }

// Error returns the text of the error.
func (e *RateLimitedError) Error() string {
	return "configuration service over its call rate for " + e.key
}

// UnknownKeyError says that the service has no such key.
type UnknownKeyError struct{ key string }

// Key returns the key that was asked for.
func (e *UnknownKeyError) Key() string { return e.key }

// Error returns the text of the error.
func (e *UnknownKeyError) Error() string {
	return "configuration service has no key " + e.key
}

// TooLargeError says that a value exceeds the service's own limit.
type TooLargeError struct{ key string }

// Key returns the key that was asked for.
func (e *TooLargeError) Key() string { return e.key }

// Error returns the text of the error.
func (e *TooLargeError) Error() string {
	return "value of " + e.key + " exceeds the limit of the configuration service"
}

// NewUnavailableError returns the error of a call without an answer, for stand-ins of the client.
func NewUnavailableError(key string, cause error) error {
	return &UnavailableError{key: key, cause: cause}
}

// NewRateLimitedError returns the error of a call above the rate, for stand-ins of the client.
func NewRateLimitedError(key string) error { return &RateLimitedError{key: key} }

// NewUnknownKeyError returns the error of a call for an unknown key, for stand-ins of the client.
func NewUnknownKeyError(key string) error { return &UnknownKeyError{key: key} }

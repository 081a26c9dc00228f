package operatorapi

import "fmt"

// UnauthorizedError is returned if a request has no valid operator key.
type UnauthorizedError struct{}

func (e *UnauthorizedError) Error() string { return "the operator key is missing or wrong" }

// NotFoundError is returned if an entity does not exist.
type NotFoundError struct{ Entity string }

func (e *NotFoundError) Error() string { return e.Entity + " does not exist" }

// BadRequestError is returned if a request, or the named field of it, is missing or malformed.
type BadRequestError struct {
	Field string
	Cause error
}

func (e *BadRequestError) Error() string {
	if e.Cause == nil {
		return e.Field + " is missing or wrong"
	}
	return fmt.Sprintf("%s: %v", e.Field, e.Cause)
}

// Unwrap returns the cause.
func (e *BadRequestError) Unwrap() error { return e.Cause }

// PreconditionRequiredError is returned if a change does not state the revision that it expects.
type PreconditionRequiredError struct{}

func (e *PreconditionRequiredError) Error() string {
	return "a change names the revision that it expects: If-Match, or If-None-Match: * for a new entity"
}

// NameMismatchError is returned if the path and the body name different entities.
type NameMismatchError struct {
	Path string
	Body string
}

func (e *NameMismatchError) Error() string {
	return fmt.Sprintf("the path names %q and the body %q", e.Path, e.Body)
}

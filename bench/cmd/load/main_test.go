package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestUnknownDeploymentIsRefused(t *testing.T) {
	c := qt.New(t)
	_, err := parameters{deployment: "buda"}.spec("", "")
	var unknown *UnknownDeploymentError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	_, err = parameters{deployment: "ulaanbaatar"}.spec("", "")
	c.Assert(err, qt.IsNil)
}

package identity_test

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"time"

	"github.com/chicorystand/chicorystand/state/identity"
)

func ExampleFromCertificate() {
	ca, err := identity.NewAuthority("example")
	if err != nil {
		fmt.Println(err)
	}
	data, _, err := ca.Issue(identity.Identity{Role: identity.Agent, Name: "vm-01", Zone: "z"}, time.Now().Add(time.Hour))
	if err != nil {
		fmt.Println(err)
	}
	block, _ := pem.Decode(data)
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		fmt.Println(err)
	}
	fmt.Println(identity.FromCertificate(cert))
	// Output: {agent vm-01 z} <nil>
}

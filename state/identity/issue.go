package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Authority is a certificate authority for development and tests. Production
// deployments use their own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate.
	PEM []byte
}

// NewAuthority returns an authority that is valid for a year.
func NewAuthority(name string) (*Authority, error) {
	now := time.Now()
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour),
		NotAfter: now.AddDate(1, 0, 0), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "generate authority key")
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "parse authority certificate")
	}
	return &Authority{cert: cert, key: key, PEM: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}, nil
}

// Issue returns a certificate and key in PEM for the identity, valid for the year before end.
func (a *Authority) Issue(id Identity, end time.Time) (cert, key []byte, err error) {
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.Internal, err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.Internal, err, "generate serial number")
	}
	subject := pkix.Name{CommonName: id.Name, OrganizationalUnit: []string{string(id.Role)}}
	if id.Zone != "" {
		subject.Locality = []string{id.Zone}
	}
	tmpl := &x509.Certificate{SerialNumber: serial, Subject: subject, NotBefore: end.Add(-24 * time.Hour * 365), NotAfter: end,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &priv.PublicKey, a.key)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.Internal, err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(priv)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.Internal, err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), nil
}

package btbundle_test

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
)

func verify(raw []byte, a btbundle.Approvers) (*btbundle.Approved, error) {
	parsed, err := btbundle.ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	return a.Verify(parsed)
}

func TestVerify(t *testing.T) {
	one := keyPair(0)
	two := keyPair(1)
	whole := string(signed([]byte(minimalBundle), one))
	both := approvers(one, two)
	tests := []struct {
		name      string
		raw       string
		approvers btbundle.Approvers
		want      string
	}{
		{name: "one of one", raw: whole, approvers: approvers(one)},
		{name: "two of two", raw: string(signed([]byte(minimalBundle), two, one)), approvers: both},
		{name: "one of two", raw: whole, approvers: both, want: "1 of the known approvers signed, 2 must"},
		{name: "one signs twice", raw: string(signed([]byte(minimalBundle), one, one)), approvers: both, want: "1 of the known"},
		{name: "unsigned", raw: minimalBundle, approvers: approvers(one), want: "0 of the known approvers signed, 1 must; the file has no signature"},
		{name: "unknown signer", raw: string(signed([]byte(minimalBundle), two)), approvers: approvers(one), want: "0 of the known approvers signed, 1 must; the file has signatures of the keys " + btbundle.KeyIDOf(two.Public().(ed25519.PublicKey)).String()},
		{name: "unknown signer beside an approver", raw: string(signed([]byte(minimalBundle), two, one)), approvers: approvers(one)},
		{name: "document changed", raw: strings.Replace(whole, "rate = 10.0", "rate = 99.0", 1), approvers: approvers(one), want: "either was changed"},
		{name: "text after the trailer", raw: whole + "x = 1\n", approvers: approvers(one), want: "nothing may follow"},
		{name: "cut", raw: whole[:len(whole)-1], approvers: approvers(one), want: "the last line is incomplete"},
		{name: "cut earlier", raw: whole[:len(whole)-9] + "\n", approvers: approvers(one), want: "malformed signature"},
		{name: "other algorithm", raw: strings.Replace(whole, " ed25519 ", " rsa ", 1), approvers: approvers(one), want: "unknown algorithm"},
		{name: "many", raw: whole + strings.Repeat(strings.TrimPrefix(whole, minimalBundle), 16), approvers: approvers(one), want: "over 16 signatures"},
		{name: "malformed document", raw: string(signed([]byte("x = 1\n"), one)), approvers: approvers(one), want: "line 1: x: unknown key"},
		{name: "no approvers", raw: whole, approvers: btbundle.Approvers{}, want: "no key is listed"},
		{name: "one key twice", raw: whole, approvers: approvers(one, one), want: "listed twice"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			approved, err := verify([]byte(test.raw), test.approvers)
			if test.want != "" {
				assert.ErrorContains(t, err, test.want)
				assert.Assert(t, approved == nil)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(approved.Raw), test.raw)
			assert.Equal(t, approved.Digest, btbundle.DigestOf([]byte(minimalBundle)), "signatures don't change the digest")
		})
	}
}

func TestIndex(t *testing.T) {
	x := approve(t, []byte(edited(btbundle.HashKey("x").String(), "y"))).Index
	account, ok := x.AccountByKey("test")
	assert.Assert(t, !ok && account == nil)
	document := edited("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", btbundle.HashKey("secret").String())
	x = approve(t, []byte(document)).Index
	account, ok = x.AccountByKey("secret")
	assert.Assert(t, ok)
	assert.Equal(t, string(account.Name), "desk")
	assert.Assert(t, account.MayUse("lookup"))
	target, ok := x.Target("t2")
	assert.Assert(t, ok)
	assert.Equal(t, x.TargetsOf("lookup")[1], target)
	_, ok = x.RankOf("t2")
	assert.Assert(t, !ok)
	service, ok := x.Service("lookup")
	assert.Assert(t, ok)
	assert.Equal(t, service.CurrentEpoch().Number, uint64(1))
}

func ExampleApprovers_Verify() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	document := []byte(minimalBundle)
	file := btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, key)}}

	anchor := btbundle.Approvers{Keys: []btbundle.Approver{{Name: "anna", Key: btbundle.PublicKey(key.Public().(ed25519.PublicKey))}}}
	parsed, err := btbundle.ParseSigned(file.Bytes())
	if err != nil {
		fmt.Println(err)
		return
	}
	approved, err := anchor.Verify(parsed)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("version", approved.Bundle.Version, "signed by", approved.Signers)
	// Output: version 1 signed by [anna]
}

package btserve

import "bilberrytide/core/btbundle"

// ContentDigest returns the digest of a request's method, path and body. It distinguishes
// a repeat under an idempotency key from another request under the same key.
func ContentDigest(method, path string, body []byte) btbundle.Digest {
	content := append([]byte(method+" "+path+"\n"), body...)
	return btbundle.DigestOf(content)
}

// ContentDigest returns the request's content digest.
func (r Request) ContentDigest() btbundle.Digest { return ContentDigest(r.Method, r.Path, r.Body) }

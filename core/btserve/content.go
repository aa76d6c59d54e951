package btserve

import "bilberrytide/core/btbundle"

// ContentDigest returns the digest by which a repeat under one idempotency key is
// told from another request: of the method, the path and the body.
func ContentDigest(method, path string, body []byte) btbundle.Digest {
	content := append([]byte(method+" "+path+"\n"), body...)
	return btbundle.DigestOf(content)
}

// ContentDigest returns the request's content digest.
func (r Request) ContentDigest() btbundle.Digest { return ContentDigest(r.Method, r.Path, r.Body) }

/** Which submission of a key counts, and which process coordinates its job, as the platform's log decides it. */
package org.chivetally.claim;

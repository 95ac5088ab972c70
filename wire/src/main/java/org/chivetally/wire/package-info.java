/** Holder of the generated wire messages; regenerate them with {@code bin/generate-wire}. */
package org.chivetally.wire;

/** HTTP/1.1 on the event loop of the frames: one thread, no second pool, for instances with half a core. */
package org.chivetally.http;

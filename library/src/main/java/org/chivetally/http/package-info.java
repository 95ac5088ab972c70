/** HTTP/1.1 client and server on the event loop of the frame transport: one thread, for instances with half a core. */
package org.chivetally.http;

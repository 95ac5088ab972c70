/** Entry and agent put together from their parts, as the daemons and a deployment in one process run them. */
package org.chivetally.daemon;

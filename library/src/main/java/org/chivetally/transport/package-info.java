/** Frames between chivetally's own processes over Netty. */
package org.chivetally.transport;

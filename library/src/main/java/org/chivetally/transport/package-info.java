/** Transport of protobuf frames between chivetally's processes over TCP, based on Netty. */
package org.chivetally.transport;

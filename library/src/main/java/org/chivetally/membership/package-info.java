/** What entries decide alike about members without asking each other. */
package org.chivetally.membership;

// Package rhubarbgate holds the interfaces and shared types of the serving system; implementations live below internal/.
package rhubarbgate
